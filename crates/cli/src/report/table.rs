//! Text tables with aligned columns.

/// Table whose first row is the heading.
#[derive(Debug, Clone)]
pub struct Table(Vec<Vec<String>>);

impl Table {
    /// Makes a table with a heading.
    pub fn new<T: Into<String>>(heading: impl IntoIterator<Item = T>) -> Self {
        Self(vec![heading.into_iter().map(Into::into).collect()])
    }

    /// Adds a row.
    pub fn push_row<T: Into<String>>(&mut self, cells: impl IntoIterator<Item = T>) {
        self.0.push(cells.into_iter().map(Into::into).collect());
    }

    /// Formats the table with two spaces between columns and no trailing spaces.
    #[must_use]
    pub fn render(&self) -> String {
        let columns = self.0.iter().map(Vec::len).max().unwrap_or_default();
        let width = |i: usize| {
            let cells = self.0.iter().filter_map(move |row| row.get(i));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.0 {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells.map(|(c, w)| format!("{c:<w$}")).collect();
            text.push_str(line.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}
