"""Stand-ins for the peers of an ingress: the discovery agent, the counter, the backends and the clients."""
