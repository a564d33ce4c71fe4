# An agent that manages instances on one machine, `doorgrade agent`. Not started on this platform; docs/fleet.md has every key.

agent {
  name    = "hillside-1"               # marks the processes that are its own: never change it while they run
  program = "../target/release/doorgrade"
  journal = "agent.redb"
  socket  = "agent.sock"               # where `doorgrade fleet` comes
  logs    = "logs"
  # log_mb = 16                        # a log grows to this, then it is kept once more as .old
}

instance "n1" {
  station  = "hillside"
  listen   = "127.0.0.1:8081"
  config   = "n1.json"
  # settings = "n1.hcl"
  # labels   = ["canary"]
}

pace {
  down          = 0.1      # of a station's instances, taken away by orders at once; one at least
  cold          = 4        # starting or just started at once in a station
  cold_for_ms   = 2000     # how long one that is ready counts as just started
  drain_for_ms  = 5000     # a drained one is left to its clients so long
  most_failures = 5        # starts in a row that come to nothing, then it is set aside
  budget        = 20       # restarts after deaths that a station may spend at once,
  budget_each_ms = 10000   # and how long one takes to come back
}

# viewer "1001" {}         # a user who may look; the agent's own user and root give orders
