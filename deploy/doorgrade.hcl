# The operators' settings: what the platform's configuration has no place for. Read at the start and on SIGHUP
# (the level and the shape are then taken at once, all else with the next start). docs/operators.md has every key.

log {
  format = "human"   # or "json": one object a line
  # level = "info"   # in place of the platform's configuration's
}

# Trunk caches in tiers. Off: this platform has one flat list of parents.
hierarchy {
  enabled = false
  # shape        = "shape.hcl"   # beside this file; doorgrade shape check tells what is wrong with one
  # tier         = 1             # the tier that fills the stations' caches
  # hand_over_ms = 10000         # in which objects go to their new homes
  # loop_header  = true          # pushes carry CDN-Loop
  # shield       = true          # one account of all that may reach the archive
}
