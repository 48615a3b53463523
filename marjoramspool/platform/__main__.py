"""The daemon on the platform: python3 -m marjoramspool.platform."""

from marjoramspool.platform.daemon import main

main()
