"""Runs the daemon as a module."""

import sys

from heathertackd._main import main

sys.exit(main())
