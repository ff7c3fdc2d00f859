"""Network connections to other instances and to backend servers."""
