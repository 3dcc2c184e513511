package shuntcapacity

// leastSquares returns the coefficients that fit rows times coefficients to
// values best, by the normal equations. The systems here are tiny.
func leastSquares(rows [][]float64, values []float64) []float64 {
	n := len(rows[0])
	m := make([][]float64, n)
	for i := range m {
		m[i] = make([]float64, n+1)
		for k, r := range rows {
			for j := range n {
				m[i][j] += r[i] * r[j]
			}
			m[i][n] += r[i] * values[k]
		}
	}
	return solve(m)
}

// solve solves a linear system, given with its right side as the last column,
// by elimination with pivots.
func solve(m [][]float64) []float64 {
	n := len(m)
	for i := range n {
		p := i
		for k := i + 1; k < n; k++ {
			if abs(m[k][i]) > abs(m[p][i]) {
				p = k
			}
		}
		m[i], m[p] = m[p], m[i]
		if m[i][i] == 0 {
			continue
		}
		for k := range n {
			if k != i {
				eliminate(m[k], m[i], i)
			}
		}
	}
	out := make([]float64, n)
	for i := range n {
		if m[i][i] != 0 {
			out[i] = m[i][n] / m[i][i]
		}
	}
	return out
}

// eliminate clears column i of row by subtracting a multiple of pivot.
func eliminate(row, pivot []float64, i int) {
	f := row[i] / pivot[i]
	for j := i; j < len(row); j++ {
		row[j] -= f * pivot[j]
	}
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}
