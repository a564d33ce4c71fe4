# The service of versions, `doorgrade control`. Not started on this platform; docs/operators.md has every key and how
# the papers named here are made.

control {
  listen              = "127.0.0.1:7443"   # where fronts come
  operators_listen    = "127.0.0.1:7444"   # where `doorgrade config` comes
  certificate         = "control.pem"
  key                 = "control.key"
  fronts_authority    = "fronts-ca.pem"
  operators_authority = "operators-ca.pem"
  seal_keys           = "seal-keys.hcl"
  store               = "control.redb"
  # admit_per_s       = 200                # fronts let in a second when many come at once
  # alive_ms          = 5000               # something is said to each front at least this often
  # most_fronts       = 200000
}

# Who may do what, by a name in the certificate. Without any, whoever the operators' authority vouches for is an operator.
# operator "first-shift" { role = "operator" }
# operator "visitor"     { role = "viewer" }

publication {
  canaries         = 2                # of different stations, where there are as many
  shares           = [0.1, 0.5, 1.0]  # of all fronts, wave by wave
  soak_ms          = 30000            # how long a wave is watched
  answer_within_ms = 30000
  refused          = 0.0              # a publication stops when a greater share turns it down,
  missing          = 0.2              # or does not answer,
  drop             = 0.03             # or when service has fallen by more than that of all others
  history          = 64               # contents kept
  listen_ms        = 60000            # after a start: for so long nothing is offered to fronts that run nothing
}
