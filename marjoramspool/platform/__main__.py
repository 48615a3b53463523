"""Entry point of the daemon on the platform: python3 -m marjoramspool.platform."""

import signal

# Without this, a SIGHUP that arrives before the daemon installs its handler would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from marjoramspool.platform.daemon import main  # noqa: E402

main()
