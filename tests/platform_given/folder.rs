//! A folder with a settings file, for the time of a story.

use std::path::PathBuf;

pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let dir = std::env::temp_dir().join(format!("spindledock-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        Folder(dir)
    }

    pub fn write(&self, text: &str) -> String {
        let file = self.0.join("boot.yaml");
        std::fs::write(&file, text).expect("written");
        file.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
