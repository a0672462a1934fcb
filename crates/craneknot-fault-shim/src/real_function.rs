//! Looks up the real functions, which the dynamic linker finds after this library.

/// The function of this name that would be called without this library.
macro_rules! real_function {
    ($name:literal) => {{
        static ADDRESS: std::sync::atomic::AtomicPtr<std::ffi::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let mut address = ADDRESS.load(std::sync::atomic::Ordering::Relaxed);
        if address.is_null() {
            address = libc::dlsym(libc::RTLD_NEXT, $name.as_ptr().cast());
            ADDRESS.store(address, std::sync::atomic::Ordering::Relaxed);
        }
        // The C library defines each of these functions with this signature.
        std::mem::transmute::<*mut std::ffi::c_void, _>(address)
    }};
}

pub(crate) use real_function;
