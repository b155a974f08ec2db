"""Stand-ins for the peers of an ingress: discovery agent, counter, backends and clients."""
