//! Slopes: lines found with their intervals, curves told from lines, too little told as too little.

use doorgrade_lab::capacity::run::Shape;
use doorgrade_lab::scale::{Fit, FitError, Point, fit};

const SIZES: [usize; 4] = [50, 150, 400, 1_000];

/// Points of a curve, with noise from a generator so that a run repeats.
fn points(of: impl Fn(f64) -> f64, noise: f64, seed: u64) -> Vec<Point> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    for size in SIZES {
        for seed in 0..3 {
            let off = noise * (rng.f64() + rng.f64() + rng.f64() - 1.5);
            all.push(Point { size, seed, value: of(size as f64) + off });
        }
    }
    all
}

fn found(of: impl Fn(f64) -> f64, noise: f64, seed: u64) -> Fit {
    fit(&points(of, noise, seed)).expect("a fit")
}

#[test]
fn an_exact_line_is_found_exactly() {
    let fit = found(|n| 7.0 + 0.25 * n, 0.0, 1);
    assert!((fit.slope - 0.25).abs() < 1e-9 && (fit.intercept - 7.0).abs() < 1e-6, "{fit:?}");
    assert!(fit.residual < 1e-6, "{fit:?}");
    assert_eq!(fit.shape, Shape::Linear);
}

/// Known by hand: N 1 to 4 thrice, values 1, 2, 2, 3 with -1, 0, +1 by seed. Slope 0.6, intercept 0.5.
#[test]
fn intervals_are_those_of_the_textbook() {
    let mut points = Vec::new();
    for (size, value) in [(1, 1.0), (2, 2.0), (3, 2.0), (4, 3.0)] {
        points.extend((0..3).map(|seed| Point { size, seed, value: value + seed as f64 - 1.0 }));
    }
    let fit = fit(&points).expect("a fit");
    // Squares about the line: 12 * 2/3 of the seeds and 3 * 0.2; ten degrees of freedom, t = 2.228139.
    let residual = (8.6f64 / 10.0).sqrt();
    let half = 2.228_139 * residual / 15f64.sqrt();
    assert!((fit.slope - 0.6).abs() < 1e-9 && (fit.intercept - 0.5).abs() < 1e-9, "{fit:?}");
    assert!((fit.residual - residual).abs() < 1e-9, "{fit:?}");
    assert!((fit.slope_interval[0] - (0.6 - half)).abs() < 1e-5, "{fit:?}");
    assert!((fit.slope_interval[1] - (0.6 + half)).abs() < 1e-5, "{fit:?}");
}

/// Of many noisy lines, the interval holds the true slope about 95 times in 100.
#[test]
fn the_interval_holds_the_slope_as_often_as_it_says() {
    let holds = |seed: &u64| {
        let fit = found(|n| 3.0 + 0.02 * n, 4.0, *seed);
        (fit.slope_interval[0]..=fit.slope_interval[1]).contains(&0.02)
    };
    let held = (0..2_000).filter(holds).count();
    assert!((1_860..1_940).contains(&held), "{held} of 2,000");
}

#[test]
fn shapes_are_told_apart() {
    for seed in 0..50 {
        let shape = |fit: Fit| fit.shape;
        assert_eq!(shape(found(|n| 5.0 + 0.1 * n, 2.0, seed)), Shape::Linear, "seed {seed}");
        assert_eq!(shape(found(|n| 5.0 + 0.0002 * n * n, 2.0, seed)), Shape::Worse, "seed {seed}");
        // Slower than a line is a line to whoever plans by it.
        assert_eq!(shape(found(|n| 10.0 * n.log10(), 0.5, seed)), Shape::Linear, "seed {seed}");
    }
    // Chance alone bends one in forty beyond a 95% interval.
    let of_flat = |shape| (0..400).filter(|&seed| found(|_| 20.0, 1.0, seed).shape == shape).count();
    assert!(of_flat(Shape::Flat) >= 380, "{} of 400 flat ones are told as flat", of_flat(Shape::Flat));
    assert!(of_flat(Shape::Worse) <= 20, "{} of 400 flat ones are told as worse", of_flat(Shape::Worse));
}

#[test]
fn too_little_is_no_slope() {
    let all = points(|n| n, 1.0, 1);
    let three: Vec<Point> = all.iter().copied().filter(|p| p.size < 1_000).collect();
    assert_eq!(fit(&three), Err(FitError::Sizes(3)));
    let two: Vec<Point> = all.iter().copied().filter(|p| p.seed < 2).collect();
    assert_eq!(fit(&two), Err(FitError::Seeds(2)));
    assert_eq!(fit(&[]), Err(FitError::Sizes(0)));
    let mut ill = all;
    ill[4].value = f64::NAN;
    assert_eq!(fit(&ill), Err(FitError::NoNumber { size: 150, seed: 1 }));
}
