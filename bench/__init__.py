"""The demonstration, the load tool and the measurements."""
