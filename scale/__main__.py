"""Starts the command line of the scale runs."""

from scale.cli import main

if __name__ == "__main__":
    main()
