"""The RESP2 server that clients connect to."""
