"""Plain services beside the model engines."""
