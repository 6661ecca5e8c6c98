# umberhoist_plant(FILE OLD NEW): a changed copy of a source, for programs that are built for tests alone. OLD
# must stand in FILE exactly once, or the build stops: a fault that was not planted would prove nothing. NEW asks
# planted::is("name"), the fault that UMBERHOIST_FAULT names.
set(edited_files "")

function(umberhoist_plant file old new)
  string(MAKE_C_IDENTIFIER ${file} name)
  if(NOT DEFINED text_${name})
    file(READ ${PROJECT_SOURCE_DIR}/${file} text_${name})
    set(edited_files ${edited_files} ${file} PARENT_SCOPE)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${file})
  endif()
  string(FIND "${text_${name}}" "${old}" first)
  string(FIND "${text_${name}}" "${old}" last REVERSE)
  if(first EQUAL -1 OR NOT first EQUAL last)
    message(FATAL_ERROR "a fault's text does not stand in ${file} exactly once: ${old}")
  endif()
  string(REPLACE "${old}" "${new}" edited "${text_${name}}")
  set(text_${name} "${edited}" PARENT_SCOPE)
endfunction()

# The changed copies, as sources, in planted_sources.
macro(umberhoist_planted_sources)
  set(planted_sources ${PROJECT_SOURCE_DIR}/tests/mutants/faults.cpp)
  foreach(file ${edited_files})
    string(MAKE_C_IDENTIFIER ${file} name)
    set(text "#include \"tests/mutants/faults.h\"\n#include <utility>\n${text_${name}}")
    file(CONFIGURE OUTPUT ${CMAKE_CURRENT_BINARY_DIR}/${name}.cpp CONTENT "@text@" @ONLY)
    list(APPEND planted_sources ${CMAKE_CURRENT_BINARY_DIR}/${name}.cpp)
  endforeach()
endmacro()
