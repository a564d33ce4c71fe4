//! Whether whoever holds a certificate may speak under a name. A certificate names whom it was made for; a front's
//! holds the front's own name, or that of its station with a star for all of the station's fronts:
//! `*.hillside` covers `n3.hillside`. More than one star, or a star elsewhere, covers nothing. Letters' case does not
//! count, as in DNS.

/// Most names of one certificate that are looked at: one has a handful, a hostile one could have a megabyte of them.
pub const MOST_NAMES: usize = 64;

/// Whether one of a certificate's names covers the name that its holder speaks under.
pub fn covers<'a>(names: impl IntoIterator<Item = &'a str>, told: &str) -> bool {
    !told.is_empty() && !told.contains('*') && names.into_iter().take(MOST_NAMES).any(|name| one(name, told))
}

fn one(name: &str, told: &str) -> bool {
    if let Some(rest) = name.strip_prefix("*.") {
        let Some((own, of)) = told.split_once('.') else { return false };
        return !rest.is_empty() && !rest.contains('*') && !own.is_empty() && of.eq_ignore_ascii_case(rest);
    }
    !name.contains('*') && name.eq_ignore_ascii_case(told)
}
