package customer

// QuotaNeed is what a holder has of a team's quota and what the team's work there could use.
type QuotaNeed struct {
	Held   int
	Demand int
}

// QuotaToGive returns how much of its share a holder gives to one that asks. It gives half of what it does not need
// itself. If both lack quota, shares move half way towards the ratio of the demands, so that they settle without going
// back and forth.
func QuotaToGive(mine, theirs QuotaNeed) int {
	need := theirs.Demand - theirs.Held
	if need <= 0 || mine.Held <= 0 {
		return 0
	}
	if spare := mine.Held - mine.Demand; spare > 0 {
		return min(need, (spare+1)/2)
	}
	fair := (mine.Held + theirs.Held) * theirs.Demand / (mine.Demand + theirs.Demand)
	return max(0, min(need, (fair-theirs.Held)/2))
}
