"""Entry point of ``python -m heathertackd``."""

import sys

from heathertackd.command import main

sys.exit(main())
