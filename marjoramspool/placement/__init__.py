"""Choice of the engine or service that gets a request, from what is known of all of them."""
