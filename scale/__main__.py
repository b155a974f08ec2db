"""Entry point of `python -m scale`."""

from scale.cli import main

if __name__ == "__main__":
    main()
