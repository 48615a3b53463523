"""The other routers: what they tell each other, by datagrams and short calls."""
