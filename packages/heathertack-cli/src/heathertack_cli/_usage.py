"""Usage text and exit codes of the client."""

from enum import IntEnum

USAGE = """The client of heathertack for operators.

Usage:
  heathertack keys new (operator | instance | caller) [options]
  heathertack settings check FILE [options]
  heathertack bundle check FILE [--against=CURRENT] [options]
  heathertack bundle sign FILE [options]
  heathertack bundle diff OLD NEW [options]
  heathertack bundle apply FILE [options]
  heathertack bundle show [options]
  heathertack bundle history [options]
  heathertack status [options]
  heathertack drain INSTANCE [--undo] [options]
  heathertack evacuate DOMAIN [options]
  heathertack readmit DOMAIN [options]
  heathertack replicas (add | remove) REPLICA [options]
  heathertack calls [--unknown] [options]
  heathertack calls settle ACCOUNT KEY (--ran | --not-run) --note=TEXT [options]
  heathertack quarantine [options]
  heathertack quarantine clear FINGERPRINT [options]
  heathertack explain REQUEST [options]
  heathertack (-h | --help)

Options:
  --server=ADDRESS   ip:port of any instance [default: 127.0.0.1:8100]
  --operator=NAME    name of the operator
  --key=FILE         file with the operator's secret key
  --output=FILE      file for the signed bundle
  --timeout=SECONDS  maximum wait for a response [default: 15]
  --json             print JSON
  --against=CURRENT  file with the bundle in force, to list the differences from it

Exit codes:
  0  done
  1  refused; the message says why and nothing was changed
  2  invalid arguments, or a file that can't be used
  3  no instance responded, or none is leader; the command may still take effect
  4  accepted, but not yet known to be in force everywhere

Exit codes of bundle check:
  0  clean
  1  errors: the bundle would be refused, or a file can't be read
  2  warnings only
"""


class ExitCode(IntEnum):
    """Exit codes of the client."""

    DONE = 0
    REFUSED = 1
    INVALID_INPUT = 2
    UNAVAILABLE = 3
    NOT_IN_FORCE = 4


class CheckCode(IntEnum):
    """Exit codes of the check of a bundle."""

    CLEAN = 0
    ERRORS = 1
    WARNINGS = 2
