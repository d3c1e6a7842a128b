use super::meter::Line;

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Fit {
    pub slope: f64,
    pub least: f64,
    pub mid: f64,
    pub most: f64,
}

fn line(rows: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = rows.len() as f64;
    let (sx, sy) = rows.iter().fold((0.0, 0.0), |s, r| (s.0 + r.0, s.1 + r.1));
    let (mx, my) = (sx / n, sy / n);
    let over: f64 = rows.iter().map(|r| (r.0 - mx) * (r.1 - my)).sum();
    let under: f64 = rows.iter().map(|r| (r.0 - mx) * (r.0 - mx)).sum();
    (under > 1e-9).then(|| (over / under, my - over / under * mx))
}

/// A power law through all sizes; the range is that of the laws through all but one, and through the last two.
pub fn fit(rows: &[(f64, f64)], aim: f64) -> Option<Fit> {
    let logs: Vec<(f64, f64)> =
        rows.iter().filter(|r| r.0 > 0.0 && r.1 > 0.0).map(|r| (r.0.ln(), r.1.ln())).collect();
    if logs.len() < 2 {
        return None;
    }
    let at = |(b, a): (f64, f64)| (a + b * aim.ln()).exp();
    let (slope, base) = line(&logs)?;
    let mut ends = vec![at((slope, base))];
    for n in 0..if logs.len() > 2 { logs.len() } else { 0 } {
        let mut some = logs.clone();
        some.remove(n);
        ends.extend(line(&some).map(at));
    }
    ends.extend(line(&logs[logs.len() - 2..]).map(at));
    let least = ends.iter().copied().fold(f64::MAX, f64::min);
    let most = ends.iter().copied().fold(0.0, f64::max);
    Some(Fit { slope, least, mid: ends[0], most })
}

const HEADS: [&str; 8] =
    ["sent/s", "got/s", "out KB/s", "in KB/s", "core %", "worst ms", "state MB", "top MB"];

pub fn table(sizes: &[(f64, Vec<Line>)], aim: f64) -> String {
    let mut out = format!("slopes at rest, the mean of a role, and what they lead to at {aim}\n");
    for role in ["router", "home", "head", "middle", "tail", "holder"] {
        for (n, head) in HEADS.iter().enumerate() {
            let cell = |l: &Line| l.mean.cells()[n];
            let find =
                |(x, rows): &(f64, Vec<Line>)| rows.iter().find(|l| l.role == role).map(|l| (*x, cell(l)));
            let rows: Vec<(f64, f64)> = sizes.iter().filter_map(find).collect();
            let Some(f) = fit(&rows, aim) else { continue };
            let seen: Vec<String> = rows.iter().map(|r| format!("{}: {:.2}", r.0, r.1)).collect();
            out.push_str(&format!(
                "  {role:7} {head:9} n^{:.2}  {aim}: {:.1} ({:.1}..{:.1})  from {}\n",
                f.slope,
                f.mid,
                f.least,
                f.most,
                seen.join(", ")
            ));
        }
    }
    out
}
