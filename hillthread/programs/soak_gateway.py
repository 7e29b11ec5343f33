"""The gateway with links to targets that a soak can cut; not for production."""

from __future__ import annotations

import sys

from hillthread import settings as settings_lib
from hillthread.coordination.gateway import settings as gateway_settings
from hillthread.programs import gateway
from hillthread.standin import link_cut

__all__ = ["main"]

_SETTINGS_FLAG = "--settings="


def main() -> None:
    """Runs the gateway; links are cut as the host's control file says."""
    for argument in sys.argv[1:]:
        if argument.startswith(_SETTINGS_FLAG):
            path = argument.removeprefix(_SETTINGS_FLAG)
            settings = settings_lib.load_settings(
                path, gateway_settings.GatewaySettings
            )
            control = link_cut.control_path(path, settings.host)
            link_cut.LinkCut(control).install()
    gateway.main()


if __name__ == "__main__":
    main()
