"""The commands of `python -m scale`, one module each; each exports a click command named `command`."""
