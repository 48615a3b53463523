"""Model engines: answers, resumed streams, load reports and orders."""
