"""Model engines: dispatch, resumable streams, load reports and model orders."""
