//! Whether the holder of a certificate may use a name. The certificate of a front contains the front's own name, or a
//! wildcard for all fronts of its station: `*.hillside` covers `n3.hillside`. A name with more than one star, or with a
//! star elsewhere, covers nothing. Names are compared without regard to case, as in DNS.

/// How many names of one certificate are looked at: an ordinary one has a handful, a hostile one could have a megabyte
/// of them.
pub const MAX_NAMES: usize = 64;

/// Whether one of a certificate's names covers the name that its holder claims.
pub fn covers<'a>(names: impl IntoIterator<Item = &'a str>, claimed: &str) -> bool {
    !claimed.is_empty()
        && !claimed.contains('*')
        && names.into_iter().take(MAX_NAMES).any(|name| name_covers(name, claimed))
}

fn name_covers(name: &str, claimed: &str) -> bool {
    if let Some(domain) = name.strip_prefix("*.") {
        let Some((own, parent)) = claimed.split_once('.') else { return false };
        return !domain.is_empty()
            && !domain.contains('*')
            && !own.is_empty()
            && parent.eq_ignore_ascii_case(domain);
    }
    !name.contains('*') && name.eq_ignore_ascii_case(claimed)
}
