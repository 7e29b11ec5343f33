"""Limits: quotas, limits of targets, retry budgets, admission."""
