"""An API gateway that enforces the customers' plans and balances requests over backends."""
