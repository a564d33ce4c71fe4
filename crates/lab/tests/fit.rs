//! Fitted lines have the right slopes and intervals, curves are told from lines, and too few points are errors.

use doorgrade_lab::capacity::run::Growth;
use doorgrade_lab::scale::{Fit, FitError, Point, fit};

const SIZES: [usize; 4] = [50, 150, 400, 1_000];

/// Points of a curve, with reproducible noise.
fn points(function: impl Fn(f64) -> f64, noise: f64, seed: u64) -> Vec<Point> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    for size in SIZES {
        for seed in 0..3 {
            let deviation = noise * (rng.f64() + rng.f64() + rng.f64() - 1.5);
            all.push(Point { size, seed, value: function(size as f64) + deviation });
        }
    }
    all
}

fn fitted(function: impl Fn(f64) -> f64, noise: f64, seed: u64) -> Fit {
    fit(&points(function, noise, seed)).expect("a fit")
}

#[test]
fn an_exact_line_is_found_exactly() {
    let fit = fitted(|n| 7.0 + 0.25 * n, 0.0, 1);
    assert!((fit.slope - 0.25).abs() < 1e-9 && (fit.intercept - 7.0).abs() < 1e-6, "{fit:?}");
    assert!(fit.residual < 1e-6, "{fit:?}");
    assert_eq!(fit.growth, Growth::Linear);
}

/// Calculated by hand: N from 1 to 4, three seeds each, values 1, 2, 2, 3 plus -1, 0, 1 by seed. Slope 0.6, intercept 0.5.
#[test]
fn intervals_are_those_of_the_textbook() {
    let mut points = Vec::new();
    for (size, value) in [(1, 1.0), (2, 2.0), (3, 2.0), (4, 3.0)] {
        points.extend((0..3).map(|seed| Point { size, seed, value: value + seed as f64 - 1.0 }));
    }
    let fit = fit(&points).expect("a fit");
    // Sum of squares: 12 * 2/3 from the seeds and 3 * 0.2 from the line; ten degrees of freedom, t = 2.228139.
    let residual = (8.6f64 / 10.0).sqrt();
    let half_width = 2.228_139 * residual / 15f64.sqrt();
    assert!((fit.slope - 0.6).abs() < 1e-9 && (fit.intercept - 0.5).abs() < 1e-9, "{fit:?}");
    assert!((fit.residual - residual).abs() < 1e-9, "{fit:?}");
    assert!((fit.slope_interval[0] - (0.6 - half_width)).abs() < 1e-5, "{fit:?}");
    assert!((fit.slope_interval[1] - (0.6 + half_width)).abs() < 1e-5, "{fit:?}");
}

/// The interval contains the true slope of about 95 in 100 noisy lines.
#[test]
fn the_interval_contains_the_slope_in_95_percent_of_cases() {
    let contains = |seed: &u64| {
        let fit = fitted(|n| 3.0 + 0.02 * n, 4.0, *seed);
        (fit.slope_interval[0]..=fit.slope_interval[1]).contains(&0.02)
    };
    let count = (0..2_000).filter(contains).count();
    assert!((1_860..1_940).contains(&count), "{count} of 2,000");
}

#[test]
fn kinds_of_growth_are_told_apart() {
    for seed in 0..50 {
        let growth = |fit: Fit| fit.growth;
        assert_eq!(growth(fitted(|n| 5.0 + 0.1 * n, 2.0, seed)), Growth::Linear, "seed {seed}");
        assert_eq!(growth(fitted(|n| 5.0 + 0.0002 * n * n, 2.0, seed)), Growth::Superlinear, "seed {seed}");
        // Slower growth than a line counts as linear.
        assert_eq!(growth(fitted(|n| 10.0 * n.log10(), 0.5, seed)), Growth::Linear, "seed {seed}");
    }
    // By chance alone, one in forty has a quadratic term above its 95% interval.
    let flat_classified_as =
        |growth| (0..400).filter(|&seed| fitted(|_| 20.0, 1.0, seed).growth == growth).count();
    assert!(
        flat_classified_as(Growth::Flat) >= 380,
        "{} of 400 flat figures are classified as flat",
        flat_classified_as(Growth::Flat)
    );
    assert!(
        flat_classified_as(Growth::Superlinear) <= 20,
        "{} of 400 flat figures are classified as superlinear",
        flat_classified_as(Growth::Superlinear)
    );
}

#[test]
fn too_few_points_and_values_that_are_not_finite_are_errors() {
    let all = points(|n| n, 1.0, 1);
    let three: Vec<Point> = all.iter().copied().filter(|p| p.size < 1_000).collect();
    assert_eq!(fit(&three), Err(FitError::Sizes(3)));
    let two: Vec<Point> = all.iter().copied().filter(|p| p.seed < 2).collect();
    assert_eq!(fit(&two), Err(FitError::Seeds(2)));
    assert_eq!(fit(&[]), Err(FitError::Sizes(0)));
    let mut with_nan = all;
    with_nan[4].value = f64::NAN;
    assert_eq!(fit(&with_nan), Err(FitError::NotFinite { size: 150, seed: 1 }));
}
