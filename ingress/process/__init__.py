"""The ingress process: configuration, signals, reload and graceful shutdown."""
