"""Sources of the pipeline: HTTP and links, decoded into messages."""
