//! The real functions, as the dynamic linker has them after this library.

/// The function of that name that would have been called without this library.
macro_rules! next {
    ($name:literal) => {{
        static FOUND: std::sync::atomic::AtomicPtr<std::ffi::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let mut found = FOUND.load(std::sync::atomic::Ordering::Relaxed);
        if found.is_null() {
            found = libc::dlsym(libc::RTLD_NEXT, $name.as_ptr().cast());
            FOUND.store(found, std::sync::atomic::Ordering::Relaxed);
        }
        // The C library has each of these functions, with this signature.
        std::mem::transmute::<*mut std::ffi::c_void, _>(found)
    }};
}

pub(crate) use next;
