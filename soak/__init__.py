"""Fault soak: real routers as processes, faults from outside, promises checked all the while."""
