//! HTTP/1.1 messages over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// The head of a message, with its header names in lower case.
#[derive(Debug, Default, Clone)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line at a place.
    pub fn word(&self, place: usize) -> &str {
        self.first_line.split(' ').nth(place).unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        let coding = self.header("transfer-encoding");
        coding.is_some_and(|coding| coding.to_ascii_lowercase().contains("chunked"))
    }

    pub fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 8192];
        match self.stream.read(&mut chunk)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.buf.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    fn find(&self, wanted: &[u8]) -> Option<usize> {
        self.buf
            .windows(wanted.len())
            .position(|part| part == wanted)
    }

    pub fn head(&mut self) -> Result<Head> {
        let end = loop {
            match self.find(b"\r\n\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let rest = self.buf.split_off(end + 4);
        let text = String::from_utf8_lossy(&std::mem::replace(&mut self.buf, rest)).into_owned();
        let mut lines = text.split("\r\n");
        let mut head = Head {
            first_line: lines.next().unwrap_or_default().to_owned(),
            headers: Vec::new(),
        };
        for line in lines.filter(|line| !line.is_empty()) {
            let Some((name, value)) = line.split_once(':') else {
                return Err(Error::other("a line of the head is no header"));
            };
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
        Ok(head)
    }

    pub fn bytes(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buf.len() < count {
            self.fill()?;
        }
        let rest = self.buf.split_off(count);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let end = loop {
            match self.find(b"\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let line = self.bytes(end + 2)?;
        let text = String::from_utf8_lossy(&line);
        let size = text.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(Error::other)?;
        let mut chunk = self.bytes(size + 2)?;
        chunk.truncate(size);
        Ok(chunk)
    }

    /// Reads a whole body, by its length or in chunks.
    pub fn body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.bytes(head.length());
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
}
