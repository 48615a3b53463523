"""The daemon on the platform: python3 -m marjoramspool.platform."""

import signal

# A signal that comes before the daemon listens for it must not end the start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from marjoramspool.platform.daemon import main  # noqa: E402

main()
