"""Command line of the daemon."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from enum import IntEnum
from pathlib import Path

from docopt import docopt
from returns.result import Failure, Success

from heathertack.settings import Settings, parse_settings
from heathertackd._daemon import Daemon, StartError, WorkLostError, form_cluster
from heathertackd._logs import Logger, close_logs, configure_logs
from heathertackd._standard_frontend import StandardFrontend

_USAGE = """The heathertack daemon.

Usage:
  heathertackd run SETTINGS
  heathertackd form SETTINGS
  heathertackd check SETTINGS
  heathertackd (-h | --help)

Commands:
  run    Serve until SIGTERM or SIGINT, then finish what is in progress. Further
         SIGTERMs change nothing; a second SIGINT stops at once.
  form   Prepare the empty data folder as the first replica of a new cluster.
  check  Check the settings and do nothing else.

Exit codes:
  0  done
  1  the daemon can't start on this machine
  2  the settings can't be used
  3  the daemon left since a part of its work kept failing
"""


class ExitCode(IntEnum):
    """Exit codes of the daemon."""

    DONE = 0
    CANT_START = 1
    INVALID_SETTINGS = 2
    WORK_LOST = 3


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    options = docopt(_USAGE, argv=arguments)
    path = Path(options["SETTINGS"])
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        print(f"heathertackd: {path}: {error}", file=sys.stderr)
        return ExitCode.INVALID_SETTINGS
    match parse_settings(str(path), text):
        case Success(settings):
            return _run_command(options, settings)
        case Failure(error):
            print(f"heathertackd: {error}", file=sys.stderr)
    return ExitCode.INVALID_SETTINGS


def _run_command(options: dict[str, object], settings: Settings) -> int:
    try:
        if options["run"]:
            level = settings.get("log_level", "info")
            logger = configure_logs(settings["instance"], level)
            asyncio.run(_run(settings, logger))
            close_logs()
        elif options["form"]:
            print(form_cluster(settings))
        else:
            print("the settings are valid")
    except StartError as error:
        print(f"heathertackd: {error}", file=sys.stderr)
        return ExitCode.CANT_START
    except WorkLostError as error:
        print(f"heathertackd: {error}", file=sys.stderr)
        return ExitCode.WORK_LOST
    return ExitCode.DONE


async def _run(settings: Settings, logger: Logger) -> None:
    await Daemon(settings, logger, StandardFrontend).run()
