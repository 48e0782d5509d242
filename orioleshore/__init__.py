"""Fleet capacity and maintenance manager."""

import time

__version__ = '0.1.0'

# CLOCK_BOOTTIME in seconds when this process began to load its modules. No
# other module of the package is loaded earlier.
PROCESS_STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)
