"""Runs the client as a module."""

import sys

from heathertack_cli._main import main

sys.exit(main())
