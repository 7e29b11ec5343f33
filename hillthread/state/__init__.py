"""Pure state machines: no sockets, no clock, no randomness of their own.

Two programs share the package: the router with its control process, and the
gateway. Some modules belong to one of them only:

* Router and control process: `cluster.claim_index`, `cluster.membership`,
  `config.configuration`, `quotas.admission`, `quotas.shares`,
  `routing.decision`, `routing.prompt`, `routing.records`, `routing.warmth` and
  `targets.departures`.
* Both: `cluster.lease`, `config.labels`, `config.objects`, `config.payloads`,
  `config.route_index`, `config.routing_table`, `quotas.limits`,
  `quotas.retry_budget`, `routing.load`, `routing.placement`,
  `targets.backoffs` and `targets.health`.
* Gateway: all others.
"""
