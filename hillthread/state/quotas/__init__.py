"""Quotas, target limits, retry budgets and admission control."""
