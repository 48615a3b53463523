"""Small stand-ins for the systems that marjoramspool meets; nothing of them is in the product."""
