"""Hollow ingresses: the decision module with its control traffic, without client or backend sockets."""
