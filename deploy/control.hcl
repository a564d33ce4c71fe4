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
  # rollout            = "waves"        # or "evidence": by what trials show, and overlapping; the keys trial_* and watch_ms
  # trial_canaries     = 4              # to false_stop are for that. Fronts that try a change first
  # trial_share        = 0.1            # of all fronts, then; as many more are compared with them
  # watch_ms           = 30000          # how long a change can be taken out alone once it is in force
  # evidence_within_ms = 10000          # a trial that knows nothing by then has too little traffic, and
  # thin_traffic       = "wait"         # waits for more, or "go_on": goes on, and is called unproven
  # false_stop         = 0.0001         # probability that a comparison takes a harmless change for harmful
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
