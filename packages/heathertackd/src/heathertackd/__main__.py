"""Runs the daemon as a module."""

import sys

from heathertackd.command import main

sys.exit(main())
