"""Communication between routers: UDP reports and state transfer over HTTP."""
