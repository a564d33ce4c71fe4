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

# Configuration streamed by a service of versions (docs/versions.md). Off: here each front is told by a file.
versions {
  enabled = false
  # service     = ["127.0.0.1:7443"]   # tried in turn; addresses, no names
  # server_name = "control.hillside"   # the name in the service's certificate
  # station     = "hillside"
  # certificate = "front.pem"          # files beside this one; doorgrade keys makes them
  # key         = "front.key"
  # authority   = "fronts-ca.pem"      # whom the service's certificate is from
  # seal_keys   = "seal-keys.hcl"
  # store       = "versions.redb"      # what survives a restart
}

# Whom the commands below `doorgrade config` talk to.
# manage {
#   service     = "127.0.0.1:7444"
#   server_name = "control.hillside"
#   certificate = "person.pem"
#   key         = "person.key"
#   authority   = "fronts-ca.pem"
# }

# Other fronts, by datagrams under seals (docs/neighbours.md). Off: this platform's fronts share nothing.
neighbours {
  enabled = false
  # listen    = "10.0.0.4:7460"     # where their datagrams come; IPv4
  # address   = "10.0.0.4:7460"     # where they reach this front, if that is another
  # seeds     = ["10.0.0.1:7460"]   # some that are likely there
  # station   = "hillside"
  # seal_keys = "seal-keys.hcl"     # doorgrade keys makes them
  # about     = 100                 # fronts, roughly
  # probe_ms  = 1000                # more than twice what the slowest link takes there and back
  # words     = 40                  # datagrams a second at the most
}

# What is remembered over a restart, from a store of its own and from neighbours (docs/recall.md). Off: nothing is written here.
recall {
  enabled = false
  # store    = "recall.redb"   # beside this file
  # write_ms = 2000            # at most so often
  # most     = 16384           # parts
  # pages    = 50              # given to neighbours that come back, in a second
}
