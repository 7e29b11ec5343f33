"""Runs command lines and maps typed errors to messages and exit codes."""

from __future__ import annotations

import sys

import fire

from hillthread import errors

__all__ = ["EXIT_FAILED", "EXIT_NOT_FOUND", "EXIT_SETTINGS", "run_command"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_NOT_FOUND = 3


def run_command(command: object) -> None:
    """Runs a command line and exits with a code for each typed error."""
    try:
        fire.Fire(command)
    except errors.NotFoundError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        sys.exit(EXIT_NOT_FOUND)
    except errors.SettingsError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except errors.HillthreadError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
