"""Code shared by the network packages: framing, sockets, addresses, buffer budgets, logging and the clock."""
