"""Scale runs: how the costs of an ingress grow with the size of its fleet."""
