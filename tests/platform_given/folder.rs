//! A temporary folder with a settings file, removed at the end of a test.

use std::path::PathBuf;

/// The folder.
pub struct SettingsFolder(PathBuf);

impl SettingsFolder {
    /// Creates a folder that is unique to this process and `name`.
    pub fn new(name: &str) -> SettingsFolder {
        let dir = std::env::temp_dir().join(format!("spindledock-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        SettingsFolder(dir)
    }

    /// Writes the settings file and returns its path.
    pub fn write(&self, text: &str) -> String {
        let file = self.0.join("boot.yaml");
        std::fs::write(&file, text).expect("written");
        file.display().to_string()
    }
}

impl Drop for SettingsFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
