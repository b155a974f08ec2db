"""Entry point of `python -m ingress.simulator`: run the adapter on standard input and output."""

import sys

from ingress.simulator.adapter import main

sys.exit(main())
