"""A gateway that starts too late."""

import sys
import time

from hillthread.programs import soak_gateway

_START_S = 6.0

if __name__ == "__main__":
    time.sleep(_START_S)
    sys.exit(soak_gateway.main())
